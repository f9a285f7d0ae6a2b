// Command measure prints what the system costs, one JSON object a line, each with its baseline beside it.
package main

func main() {}
