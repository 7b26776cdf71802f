package org.lovageladder.http

import io.micrometer.core.instrument.MeterRegistry
import org.lovageladder.core.Address
import org.lovageladder.core.ExchangeId
import org.lovageladder.core.Outcome
import org.lovageladder.core.RequestId
import org.lovageladder.core.Submission

/** Is told what callers do. Called on event loop threads, so that both functions have to return at once. */
public interface CallerHandler {
    /** A caller submitted a request, which is to be answered by [CallerServer.giveOutcome]. */
    public fun submitted(exchange: ExchangeId, submission: Submission)

    /** The caller's connection closed before its outcome was written; nothing can be given to it any more. */
    public fun left(exchange: ExchangeId)
}

/** HTTP server towards callers. All functions may be called on any thread and don't block. */
public interface CallerServer : AutoCloseable {
    /** Where the server listens, with the port that was chosen when 0 was asked for. */
    public val address: Address

    /** Hands a token to the caller of a generation; nothing happens when the exchange is over. */
    public fun giveToken(exchange: ExchangeId, index: Int, text: String)

    /** Ends an exchange; nothing happens when it is over. */
    public fun giveOutcome(exchange: ExchangeId, request: RequestId, outcome: Outcome)

    /** Accepts no more connections, and asks callers with each answer to close theirs. */
    public fun drain()

    /** Closes all connections. */
    override fun close()
}

/** Starts a [CallerServer] on [bind]; throws [java.net.BindException] when the address is taken. */
public fun startCallerServer(
    bind: Address,
    limits: HttpLimits = HttpLimits(),
    handler: CallerHandler,
    registry: MeterRegistry,
    threads: HttpThreads = HttpThreads.shared,
): CallerServer = NettyCallerServer(bind, limits, handler, CallerMeters(registry), threads)
