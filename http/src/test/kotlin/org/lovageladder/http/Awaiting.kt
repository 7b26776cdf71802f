package org.lovageladder.http

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.fail
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Waits for the one value that [start] gives to its callback. */
internal fun <Value> awaitCallback(start: ((Value) -> Unit) -> Unit): Value {
    val arrived = CompletableFuture<Value>()
    start { check(arrived.complete(it)) { "the callback was called twice" } }
    return arrived.get(20, TimeUnit.SECONDS)
}

/** Asks [probe] again and again until it holds. */
internal fun awaitTrue(description: String, probe: () -> Boolean) {
    val start = TimeSource.Monotonic.markNow()
    while (!probe()) {
        if (start.elapsedNow() > 20.seconds) fail("did not happen: $description")
        Thread.onSpinWait()
    }
}
