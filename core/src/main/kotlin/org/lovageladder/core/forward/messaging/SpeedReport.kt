package org.lovageladder.core.forward.messaging

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lovageladder.core.UpstreamName

/**
 * What the sender measured of upstreams within the last second: their times in percent of those usual in their pool. It
 * needs no answer, and one that is lost is followed by the next a second later.
 */
@Serializable
@SerialName("cs")
public data class SpeedReport(@SerialName("p") val percentages: Map<UpstreamName, Int>) : EntryMessage
