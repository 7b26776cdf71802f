package org.lovageladder.client

/** Temporary module marker. */
public fun main() {}
