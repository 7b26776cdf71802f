package org.lovageladder.peer

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.lovageladder.core.FaultCause
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class FramesTest {
    @Test
    fun anEncodedEnvelopeIsDecodedUnchanged() {
        listOf(hello(), welcome(), heartbeat(Long.MAX_VALUE)).forEach { envelope ->
            assertEquals(envelope, decodeEnvelope(encodeEnvelope(envelope), "peer").get())
        }
    }

    @Test
    fun decodingADamagedBodyReturnsAProtocolFaultAndNeverThrows() {
        val random = Random(SEED)
        val body = encodeEnvelope(hello())
        repeat(20_000) {
            val damaged = body.copyOf(random.nextInt(1, body.size + 1))
            repeat(random.nextInt(1, 5)) { damaged[random.nextInt(damaged.size)] = random.nextInt().toByte() }
            decodeEnvelope(damaged, "peer").fold(
                success = {},
                failure = { fault -> assertEquals(FaultCause.PROTOCOL, fault.cause) },
            )
        }
    }

    private companion object {
        const val SEED = 11
    }
}
