package org.lovageladder.http.forward

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.WriteBufferWaterMark
import io.netty.util.concurrent.Future
import org.lovageladder.core.RequestId
import org.lovageladder.core.forward.AnswerOutput
import org.lovageladder.core.forward.UnreadAnswers
import org.lovageladder.core.forward.WrittenPosition

/**
 * Writes answers to the caller of [channel], and accounts for what the caller leaves unread in [unread]. An upstream is
 * paused from [HIGH_WATERMARK_BYTES] on until [LOW_WATERMARK_BYTES] are left. Confined to the event loop thread.
 */
internal class CallerOutput(private val channel: Channel, private val unread: UnreadAnswers) : AnswerOutput {
    private var completedWrites = 0L
    private var resumeUpstream: (() -> Unit)? = null

    override var request: RequestId? = null

    override val unreadBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    override val position: WrittenPosition
        get() = WrittenPosition(completedWrites, channel.unsafe().outboundBuffer()?.currentProgress() ?: 0)

    override val isUpstreamPaused: Boolean get() = resumeUpstream != null

    /** Whether the caller leaves more unread than an upstream should add to. */
    val isCongested: Boolean get() = !channel.isWritable && channel.isActive

    init {
        channel.config().writeBufferWaterMark = WriteBufferWaterMark(LOW_WATERMARK_BYTES, HIGH_WATERMARK_BYTES)
        channel.closeFuture().addListener {
            resumeUpstream = null
            unread.remove(this)
        }
    }

    /** Writes [message] behind what was written before, at the latest with the next flushed one. */
    fun write(message: Any) {
        channel.write(message).addListener(::onWritten)
    }

    fun writeAndFlush(message: Any): ChannelFuture {
        val written = channel.writeAndFlush(message).addListener(::onWritten)
        if (channel.isActive) unread.onWritten(this)
        return written
    }

    /** What follows a write that failed, as when memory is used up, would make the answer look complete. */
    private fun onWritten(written: Future<*>) {
        completedWrites += 1
        if (!written.isSuccess) channel.close()
    }

    /** Runs [resume] once the caller has read on, in place of an earlier one. */
    fun onWritable(resume: () -> Unit) {
        resumeUpstream = resume
    }

    /** Called when [isCongested] changed. */
    fun onCongestionChanged() {
        if (!channel.isWritable) return
        val resume = resumeUpstream
        resumeUpstream = null
        resume?.invoke()
    }

    override fun cutOff() {
        channel.close()
    }

    private companion object {
        /** More than a usual stream, so that one is paused only for a caller that reads far too slowly. */
        const val HIGH_WATERMARK_BYTES = 256 * 1024

        /** Close to the other one, since an upstream cuts off an answer that is not read for some seconds. */
        const val LOW_WATERMARK_BYTES = 192 * 1024
    }
}
