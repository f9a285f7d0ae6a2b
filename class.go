package sycamoretiller

//go:generate enumer -type=Class -trimprefix=Class -transform=snake

// Class ranks calls under load; lower values are served first.
type Class int

// The call classes.
const (
	// ClassInteractive has a person waiting with little patience.
	ClassInteractive Class = iota
	// ClassPatient has a caller that accepts a longer wait.
	ClassPatient
	// ClassBackground yields to all others.
	ClassBackground
)
