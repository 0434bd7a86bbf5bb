package rehearsal

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"cresspass/internal/rehearsal/rulecheck"
)

// evidenceFile is the name of the evidence file within its folder.
const evidenceFile = "traffic.json.gz"

// evidence is the stored traffic of a day on which a rule broke, from which the rules can be checked again
// without playing the day.
type evidence struct {
	Day        string
	Seed       uint64
	Parameters rulecheck.Parameters `json:"Figures"`
	Log        *rulecheck.Log
}

// StoreEvidence writes the log of the relays, with the day's name and the seed, into a folder, which is
// created if it does not exist.
func (r *Result) StoreEvidence(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, evidenceFile), func(w *bufio.Writer) error {
		z := gzip.NewWriter(w)
		e := evidence{Day: r.Day.Name, Seed: r.Seed, Parameters: r.Day.Parameters(), Log: r.Log}
		if err := json.NewEncoder(z).Encode(e); err != nil {
			return err
		}
		return z.Close()
	})
}

// CheckEvidence checks the rules again from a folder that StoreEvidence wrote, and returns the day's name,
// the seed and the verdicts.
func CheckEvidence(dir string) (day string, seed uint64, all []rulecheck.Verdict, err error) {
	f, err := os.Open(filepath.Join(dir, evidenceFile))
	if err != nil {
		return "", 0, nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	z, err := gzip.NewReader(f)
	if err != nil {
		return "", 0, nil, err
	}
	var e evidence
	if err := json.NewDecoder(z).Decode(&e); err != nil {
		return "", 0, nil, fmt.Errorf("%s: %w", dir, err)
	}
	if e.Log == nil {
		return "", 0, nil, fmt.Errorf("%s holds no traffic", dir)
	}
	return e.Day, e.Seed, rulecheck.Check(e.Parameters, e.Log), nil
}
