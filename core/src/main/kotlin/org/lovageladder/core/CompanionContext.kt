package org.lovageladder.core

/** State shared by the components of one companion. */
internal class CompanionContext(val settings: CompanionSettings) {
    val output = CompanionOutput()
    val attempts = AttemptRegistry(output)
    val now: Moment get() = output.now

    /** Earliest of [moments], null when there is none. */
    fun earliest(moments: List<Moment?>): Moment? = moments.filterNotNull().minOrNull()
}
