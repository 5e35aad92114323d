package catalog

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxDocumentBytes bounds an unpacked document.
const maxDocumentBytes = 64 << 20

// Pack compresses an operator's document. Documents compress well, since they
// repeat most of their words in each route and model, and each change is sent to
// every control VM and every entry, some of which have links of 10 Mbit/s.
func Pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(document); err != nil {
		return nil, fmt.Errorf("pack a catalog: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack a catalog: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack returns the document as the operator sent it.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack a catalog: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack a catalog: %w", err)
	}
	return document, nil
}
