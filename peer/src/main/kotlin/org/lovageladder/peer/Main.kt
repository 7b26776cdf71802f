package org.lovageladder.peer

/** Temporary module marker. */
public fun main() {}
