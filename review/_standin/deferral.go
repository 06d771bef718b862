package main

func playDeferral(*record, bool) outcome { return outcome{} }
