package org.lovageladder.http

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.fail
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Returns the value that [start] passes to its callback; fails after 20 seconds or when it is called twice. */
internal fun <Value> awaitCallback(start: ((Value) -> Unit) -> Unit): Value {
    val result = CompletableFuture<Value>()
    start { check(result.complete(it)) { "the callback was called twice" } }
    return result.get(20, TimeUnit.SECONDS)
}

/** Polls [probe] until it is true; fails after 20 seconds. */
internal fun awaitTrue(description: String, probe: () -> Boolean) {
    val start = TimeSource.Monotonic.markNow()
    while (!probe()) {
        if (start.elapsedNow() > 20.seconds) fail("condition not met within 20 seconds: $description")
        Thread.onSpinWait()
    }
}
