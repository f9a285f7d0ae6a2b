package sycamoretiller

//go:generate enumer -type=Class -trimprefix=Class -transform=snake

// Class ranks calls under load; lower values are served first.
type Class int

// The call classes.
const (
	// ClassInteractive is for calls on which a person waits, with a short maximum wait.
	ClassInteractive Class = iota
	// ClassPatient is for calls whose caller accepts a longer wait.
	ClassPatient
	// ClassBackground is for calls that yield to all others.
	ClassBackground
)
