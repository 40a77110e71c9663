package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// codecName is the subtype in the Content-Type of the peer protocol.
const codecName = "cbor"

// codec encodes messages as CBOR. It implements connect.Codec.
type codec struct{}

func (codec) Name() string { return codecName }

func (codec) Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: encode: %w", ErrPeer, err)
	}
	return data, nil
}

func (codec) Unmarshal(data []byte, v any) error {
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: decode: %w", ErrPeer, err)
	}
	return nil
}
