package bundler

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
)

// signContext is prepended to the signed payload, so that a signature made with the
// same key for another purpose is never valid for a bundle.
const signContext = "oriolecroft bundle\n"

// Record is a bundle as stored in the platform's store: the exact bytes that
// were signed, and the signatures.
type Record struct {
	Payload    []byte      `json:"payload"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one operator's sign-off.
type Signature struct {
	// Key is the operator's public key, base64.
	Key string `json:"key"`
	// Value is the Ed25519 signature.
	Value []byte `json:"value"`
}

// Keyring holds the keys against which every process verifies sign-offs. It comes
// from the settings, never from the store: write access to the store alone must not
// allow changes to what runs.
type Keyring struct {
	// Keys are the operators' public keys, base64.
	Keys []string
	// Threshold is how many different keys must have signed.
	Threshold int
}

// SignatureError reports a record with too few signatures of known operators.
type SignatureError struct {
	Valid, Threshold int
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("bundle carries %d valid sign-offs of %d needed", e.Valid, e.Threshold)
}

// GenerateKey generates an operator's key pair, both keys in base64.
func GenerateKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", err
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv.Seed()), nil
}

// Sign adds the sign-off of one operator, whose private key is the base64 seed
// from GenerateKey. Signing again with the same key replaces the signature.
func (r *Record) Sign(private string) error {
	seed, err := base64.StdEncoding.DecodeString(private)
	if err != nil || len(seed) != ed25519.SeedSize {
		return fmt.Errorf("sign: private key is not %d bytes of base64", ed25519.SeedSize)
	}
	priv := ed25519.NewKeyFromSeed(seed)
	key := base64.StdEncoding.EncodeToString(priv.Public().(ed25519.PublicKey))
	value := ed25519.Sign(priv, append([]byte(signContext), r.Payload...))
	for i := range r.Signatures {
		if r.Signatures[i].Key == key {
			r.Signatures[i].Value = value
			return nil
		}
	}
	r.Signatures = append(r.Signatures, Signature{Key: key, Value: value})
	return nil
}

// Open verifies the sign-offs against the keyring and returns the bundle.
func (r *Record) Open(k Keyring) (*Bundle, error) {
	if valid := r.valid(k); valid < k.Threshold || k.Threshold < 1 {
		return nil, &SignatureError{Valid: valid, Threshold: k.Threshold}
	}
	return Parse(r.Payload)
}

// valid counts the distinct keys of the keyring with a valid signature.
func (r *Record) valid(k Keyring) int {
	signed := append([]byte(signContext), r.Payload...)
	signers := map[string]bool{}
	for _, s := range r.Signatures {
		if k.verify(s, signed) {
			signers[s.Key] = true
		}
	}
	return len(signers)
}

func (k Keyring) verify(s Signature, signed []byte) bool {
	for _, key := range k.Keys {
		if key != s.Key {
			continue
		}
		pub, err := base64.StdEncoding.DecodeString(key)
		return err == nil && len(pub) == ed25519.PublicKeySize && ed25519.Verify(pub, signed, s.Value)
	}
	return false
}

// Validate checks that the keyring can be satisfied and reports all faults.
func (k Keyring) Validate() error {
	v := new(validator)
	seen := map[string]bool{}
	for i, key := range k.Keys {
		path := fmt.Sprintf("keys[%d]", i)
		pub, err := base64.StdEncoding.DecodeString(key)
		if err != nil || len(pub) != ed25519.PublicKeySize {
			v.addFault(path, "%q is no operator's public key: want %d bytes in base64", key, ed25519.PublicKeySize)
		}
		if seen[key] {
			v.addFault(path, "stands twice")
		}
		seen[key] = true
	}
	if k.Threshold < 1 || k.Threshold > len(k.Keys) {
		v.addFault("threshold", "%d sign-offs needed of %d keys: must be at least 1 and at most the number of keys", k.Threshold, len(k.Keys))
	}
	if len(v.faults) > 0 {
		return &FaultsError{Faults: v.faults}
	}
	return nil
}

// Digest returns the digest of the payload. Two records of one revision with
// different digests raise an alarm.
func (r *Record) Digest() string { return Digest(r.Payload) }

// Encode returns the record as JSON, the form in which it is stored and sent.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxBytes {
		return nil, &SizeError{Bytes: len(data), Limit: MaxBytes}
	}
	return data, nil
}

// DecodeRecord is the inverse of Record.Encode. It does not verify the sign-offs.
func DecodeRecord(data []byte) (*Record, error) {
	if len(data) > MaxBytes {
		return nil, &SizeError{Bytes: len(data), Limit: MaxBytes}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	r := new(Record)
	if err := d.Decode(r); err != nil {
		return nil, &SyntaxError{Offset: d.InputOffset(), Err: err}
	}
	return r, nil
}
