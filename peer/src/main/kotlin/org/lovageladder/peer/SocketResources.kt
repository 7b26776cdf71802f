package org.lovageladder.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.Executors
import kotlin.time.Duration

/** Selector thread and coroutine scope of one listener or dialer. */
internal class SocketResources : AutoCloseable {
    private val selectorThread =
        Executors.newSingleThreadExecutor { runnable -> Thread(runnable, "peer-selector").apply { isDaemon = true } }

    val selector = SelectorManager(selectorThread.asCoroutineDispatcher())
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO + CoroutineName("peer"))

    /** Waits at most [gracePeriod] until all connections have ended, then cancels those that remain. */
    fun close(gracePeriod: Duration) {
        runBlocking {
            withTimeoutOrNull(gracePeriod) { scope.coroutineContext.job.children.forEach { it.join() } }
        }
        close()
    }

    override fun close() {
        scope.cancel()
        selector.close()
        selectorThread.shutdown()
    }
}
