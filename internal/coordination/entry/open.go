package entry

// Open returns the number of open requests.
func (s *Server) Open() int { return int(s.open.Load()) }
