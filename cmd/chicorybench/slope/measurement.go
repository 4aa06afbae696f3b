package slope

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Measurement contains the points of one cost, measured at several sizes of its driver, and the line fitted to them.
type Measurement struct {
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Driver says what the sizes count, such as "daemons".
	Driver string  `json:"driver"`
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
	// Command is the command that measured the points. It is shown on the capacity page.
	Command string `json:"command"`
}

// File is the content of a file of measurements.
type File struct {
	Measurements []Measurement `json:"measurements"`
}

// Find returns the measurement with the given name, or an error if the file does not contain it.
func (f *File) Find(name string) (*Measurement, error) {
	for i := range f.Measurements {
		if f.Measurements[i].Name == name {
			return &f.Measurements[i], nil
		}
	}
	return nil, errors.Errorf("the file of measurements does not contain %q; \"chicorybench slopes\" and \"observe\" add measurements", name)
}

// Replace replaces the measurements that have the same name in other, and adds the other measurements of other.
func (f *File) Replace(other *File) {
	for _, added := range other.Measurements {
		if existing, err := f.Find(added.Name); err == nil {
			*existing = added
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
	return &f, errors.Wrapf(json.Unmarshal(text, &f), "decode measurements %s", path)
}

// Save writes the measurements to a file.
func (f *File) Save(path string) error {
	text, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurements")
	}
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), 0o644), "save measurements")
}

// AddPoints adds the points of other to the measurements with the same names, and adds the measurements that f does not
// have. It fits the lines again. The Unit, Driver and Command of existing measurements stay as they are.
func (f *File) AddPoints(other *File) {
	for _, added := range other.Measurements {
		measurement, err := f.Find(added.Name)
		if err != nil {
			f.Measurements = append(f.Measurements, added)
			measurement = &f.Measurements[len(f.Measurements)-1]
		} else {
			measurement.Points = append(measurement.Points, added.Points...)
		}
		measurement.Line = Fit(measurement.Points)
	}
}
