package org.lovageladder.measure

/** Temporary module marker. */
public fun main() {}
