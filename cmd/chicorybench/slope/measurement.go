package slope

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Measurement is a series of measurements of one cost at several sizes of its driver.
type Measurement struct {
	Name string `json:"name"`
	// Unit is the unit of the cost. Driver says what the sizes count.
	Unit    string  `json:"unit"`
	Driver  string  `json:"driver"`
	Points  []Point `json:"points"`
	Line    Line    `json:"line"`
	Command string  `json:"command"`
}

// File is a file of measurements.
type File struct {
	Measurements []Measurement `json:"measurements"`
}

// Find returns the measurement with the given name.
func (f *File) Find(name string) (*Measurement, error) {
	for i := range f.Measurements {
		if f.Measurements[i].Name == name {
			return &f.Measurements[i], nil
		}
	}
	return nil, errors.Errorf("measurement %q is not in the result files; run make capacity", name)
}

// Merge adds the measurements of other, replacing those with the same name.
func (f *File) Merge(other *File) {
	for _, added := range other.Measurements {
		if known, err := f.Find(added.Name); err == nil {
			*known = added
			continue
		}
		f.Measurements = append(f.Measurements, added)
	}
}

// Load reads a file of measurements. It returns an empty File if the file does not exist.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return &File{}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "load measurements")
	}
	var f File
	return &f, errors.Wrapf(json.Unmarshal(text, &f), "measurements %s", path)
}

// Save writes the measurements to a file.
func (f *File) Save(path string) error {
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurements")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "save measurements")
}

// Extend adds the points of other to the measurements with the same names and fits the lines again.
func (f *File) Extend(other *File) {
	for _, added := range other.Measurements {
		known, err := f.Find(added.Name)
		if err != nil {
			f.Measurements = append(f.Measurements, added)
			known = &f.Measurements[len(f.Measurements)-1]
		} else {
			known.Points = append(known.Points, added.Points...)
		}
		known.Line = Fit(known.Points)
	}
}
