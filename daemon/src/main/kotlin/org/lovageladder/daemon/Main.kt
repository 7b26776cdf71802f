package org.lovageladder.daemon

/** Temporary module marker. */
public fun main() {}
