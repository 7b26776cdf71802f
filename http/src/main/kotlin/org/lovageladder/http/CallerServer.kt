package org.lovageladder.http

import io.micrometer.core.instrument.MeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Outcome
import org.lovageladder.core.RequestId
import org.lovageladder.core.Submission

/** Receives the submissions of callers. Called on event loop threads; implementations must not block. */
public interface CallerHandler {
    /** A caller submitted a request; it is answered by [CallerServer.sendOutcome]. */
    public fun onSubmission(exchange: ExchangeId, submission: Submission)

    /** The caller disconnected before its outcome was written; tokens and outcomes for it are now ignored. */
    public fun onCallerDisconnected(exchange: ExchangeId)
}

/** HTTP server for callers. Thread-safe; no function blocks. */
public interface CallerServer : AutoCloseable {
    /** Address the server listens on; with the assigned port when the requested port was 0. */
    public val address: Address

    /** Passes a token to the caller of a generation. Ignored when the exchange has ended. */
    public fun sendToken(exchange: ExchangeId, index: Int, text: String)

    /** Writes the outcome and ends the exchange. Ignored when the exchange has ended. */
    public fun sendOutcome(exchange: ExchangeId, request: RequestId, outcome: Outcome)

    /** Stops accepting connections, and asks callers with each answer to close theirs. */
    public fun drain()

    /** Closes all connections. */
    override fun close()
}

/** Starts a [CallerServer] on [bind]; throws [java.net.BindException] when the address is in use. */
public fun startCallerServer(
    bind: Address,
    limits: HttpLimits = HttpLimits(),
    handler: CallerHandler,
    registry: MeterRegistry,
    threads: HttpThreads = HttpThreads.shared,
): CallerServer = NettyCallerServer(bind, limits, handler, CallerMeters(registry), threads)
