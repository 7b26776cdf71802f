package org.lovageladder.standin

/** Temporary module marker. */
public fun main() {}
