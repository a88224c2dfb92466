package bundler

import (
	"bytes"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
)

// signContext is signed in front of the payload, so that a signature made for
// something else with the same key can never pass for one on a bundle.
const signContext = "oriolecroft bundle\n"

// Record is a bundle as it lies in the platform's store: the very bytes that
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

// Keyring is what every process checks sign-offs against. It comes from the
// settings, never from the store: whoever only writes to the store must not be
// able to change what runs.
type Keyring struct {
	// Keys are the operators' public keys, base64.
	Keys []string
	// Threshold is how many different keys must have signed.
	Threshold int
}

// SignatureError reports a record that too few known operators have signed.
type SignatureError struct {
	Valid, Threshold int
}

func (e *SignatureError) Error() string {
	return fmt.Sprintf("bundle carries %d valid sign-offs of %d needed", e.Valid, e.Threshold)
}

// GenerateKey makes an operator's key pair, both halves base64.
func GenerateKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", err
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv.Seed()), nil
}

// Sign adds the sign-off of one operator, whose private key is the base64 seed
// from GenerateKey. Signing twice with one key leaves one signature.
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

// Open checks the sign-offs against the keyring and gives the bundle inside.
func (r *Record) Open(k Keyring) (*Bundle, error) {
	if valid := r.valid(k); valid < k.Threshold || k.Threshold < 1 {
		return nil, &SignatureError{Valid: valid, Threshold: k.Threshold}
	}
	return Parse(r.Payload)
}

// valid counts the different keys of the ring whose signature holds.
func (r *Record) valid(k Keyring) int {
	signed := append([]byte(signContext), r.Payload...)
	good := map[string]bool{}
	for _, s := range r.Signatures {
		if k.verifies(s, signed) {
			good[s.Key] = true
		}
	}
	return len(good)
}

func (k Keyring) verifies(s Signature, signed []byte) bool {
	for _, key := range k.Keys {
		if key != s.Key {
			continue
		}
		pub, err := base64.StdEncoding.DecodeString(key)
		return err == nil && len(pub) == ed25519.PublicKeySize && ed25519.Verify(pub, signed, s.Value)
	}
	return false
}

// Validate checks that the ring can ever be satisfied; all faults are reported.
func (k Keyring) Validate() error {
	v := new(validator)
	seen := map[string]bool{}
	for i, key := range k.Keys {
		at := fmt.Sprintf("keys[%d]", i)
		pub, err := base64.StdEncoding.DecodeString(key)
		if err != nil || len(pub) != ed25519.PublicKeySize {
			v.add(at, "%q is no operator's public key: want %d bytes in base64", key, ed25519.PublicKeySize)
		}
		if seen[key] {
			v.add(at, "stands twice")
		}
		seen[key] = true
	}
	if k.Threshold < 1 || k.Threshold > len(k.Keys) {
		v.add("threshold", "%d sign-offs needed of %d keys: must be at least 1 and at most the number of keys", k.Threshold, len(k.Keys))
	}
	if len(v.faults) > 0 {
		return &FaultsError{Faults: v.faults}
	}
	return nil
}

// Digest names the record's content; two records of one revision with different
// digests are an alarm.
func (r *Record) Digest() string { return Digest(r.Payload) }

// Encode gives the record as JSON, the form in which it is stored and sent.
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

// DecodeRecord is the inverse of Record.Encode; it does not check the sign-offs.
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
