package org.lovageladder.core

/**
 * Weight of [candidate] for [key] in rendezvous hashing (64-bit FNV-1a, then mixed); not negative, lower is preferred.
 */
internal fun rendezvousHash(key: String, candidate: String): Long {
    var hash = FNV_OFFSET
    for (character in key) hash = (hash xor character.code.toLong()) * FNV_PRIME
    for (character in candidate) hash = (hash xor character.code.toLong()) * FNV_PRIME
    hash = hash xor (hash ushr FINAL_MIX_SHIFT)
    return (hash * FNV_PRIME) and Long.MAX_VALUE
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val FINAL_MIX_SHIFT = 29
