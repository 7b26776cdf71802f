package org.lovageladder.core.forward

/** Processing of one request from its acceptance to its final answer. */
internal interface ForwardFlow {
    /** Begins the flow. Must be called once. */
    fun start()

    /** The caller disconnected; everything that runs for the request is cancelled. */
    fun onCallerDisconnected()

    /** Other keys are valid now; a request that waits in a queue is refused at once if its key is none of them. */
    fun onKeysChanged() = Unit

    /** The process is about to be terminated; the request gets its final answer now. */
    fun onFinalDeadline()
}
