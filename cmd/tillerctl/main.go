// Command tillerctl is the operators' tool.
package main

func main() {}
