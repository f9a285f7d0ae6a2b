// Package sycamoretiller holds the interfaces and value types of a configuration distribution system for a service
// mesh. Implementations live in the packages below it.
package sycamoretiller
