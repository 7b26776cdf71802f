package org.lovageladder.http

/** Temporary module marker. */
public fun main() {}
