package org.lovageladder.core

import kotlinx.serialization.Serializable

/** Name of a machine that runs processes of the system or of the platform. */
@Serializable
@JvmInline
public value class HostName(public val text: String) {
    override fun toString(): String = text
}
