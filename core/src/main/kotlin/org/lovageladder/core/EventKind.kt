package org.lovageladder.core

import kotlinx.serialization.Serializable

/** Severity of an event for an operator. */
@Serializable
public enum class EventLevel {
    DEBUG,
    INFO,
    WARNING,
    ERROR,
}

/**
 * Catalogue of the events that processes record, each with its meaning and what an operator should do. Numbers are
 * never reused. The page docs/EVENTS.md lists the same entries.
 */
@Serializable
public enum class EventKind(
    public val number: Int,
    public val level: EventLevel,
    public val meaning: String,
    public val operatorAction: String,
) {
    PROCESS_STARTED(1001, EventLevel.INFO, "A process started and chose its incarnation.", "None."),
    PROCESS_READY(1002, EventLevel.INFO, "The process is ready and accepts work.", "None."),
    PROCESS_DRAINING(
        1003,
        EventLevel.INFO,
        "The process accepts no new work and finishes the work in progress.",
        "None.",
    ),
    PROCESS_STOPPED(1004, EventLevel.INFO, "The process finished all its work and exits.", "None."),
    SETTING_REJECTED(1005, EventLevel.ERROR, "A setting has a value that is not allowed.", "Correct the setting."),
    PEER_CONNECTED(1101, EventLevel.INFO, "An entry and a companion are connected.", "None."),
    PEER_LOST(1102, EventLevel.WARNING, "A connection between processes was lost.", "Check the host and network."),
    PEER_REFUSED(1103, EventLevel.WARNING, "A connection was meant for another host or incarnation.", "None if rare."),
    FRAME_REJECTED(1104, EventLevel.ERROR, "A malformed or oversized frame closed its connection.", "Check versions."),
    PEER_SILENT(1105, EventLevel.WARNING, "A peer was silent for too long and was disconnected.", "Check the host."),
    NOTE_APPLIED(1201, EventLevel.INFO, "A release note is in force in this process.", "None."),
    NOTE_PUBLISHED(1202, EventLevel.INFO, "An operator's release note was accepted.", "None."),
    NOTE_IGNORED(1203, EventLevel.WARNING, "Older release data was received and not applied.", "Check the store."),
    NOTE_UNREADABLE(1204, EventLevel.ERROR, "A stored release note cannot be read.", "Publish a correcting note."),
    REQUEST_ACCEPTED(2001, EventLevel.DEBUG, "A caller's request was accepted.", "None."),
    REQUEST_REFUSED(
        2002,
        EventLevel.INFO,
        "A request was refused, with Retry-After where a retry may succeed.",
        "See docs/OPERATIONS.md.",
    ),
    REQUEST_FINISHED(2003, EventLevel.DEBUG, "A request was answered completely.", "None."),
    CALLER_LEFT(2004, EventLevel.DEBUG, "A caller disconnected; its work is cancelled.", "None."),
    UPSTREAM_CHOSEN(2101, EventLevel.DEBUG, "An upstream was chosen for an attempt.", "None."),
    RESERVATION_GRANTED(2102, EventLevel.DEBUG, "Decode memory was reserved.", "None."),
    RESERVATION_REFUSED(2103, EventLevel.DEBUG, "Decode memory was not granted.", "None."),
    RESERVATION_LAPSED(2104, EventLevel.INFO, "A reservation was not used in time and was freed.", "None if rare."),
    PREFILL_STARTED(2105, EventLevel.DEBUG, "A prefill was sent to its upstream.", "None."),
    PREFILL_READY(2106, EventLevel.DEBUG, "A prefill's result is ready.", "None."),
    PREFILL_WASTED(2107, EventLevel.INFO, "A prefill's result was not used.", "Check decode capacity and links."),
    DECODE_STARTED(2108, EventLevel.DEBUG, "A decode was sent to its upstream.", "None."),
    DECODE_FINISHED(2109, EventLevel.DEBUG, "A decode produced all its tokens.", "None."),
    ATTEMPT_FAILED(2110, EventLevel.INFO, "An attempt failed.", "Check the upstream if frequent."),
    ATTEMPT_CANCELLED(2111, EventLevel.DEBUG, "An attempt was cancelled and its memory freed.", "None."),
    ATTEMPT_RETRIED(2112, EventLevel.INFO, "A step was retried within the retry budget.", "None if rare."),
    ATTEMPT_HEDGED(2113, EventLevel.INFO, "A second attempt was started beside a slow one.", "None if rare."),
    STREAM_RESUMED(2114, EventLevel.INFO, "A silent stream was resumed on another upstream.", "Check the upstream."),
    ORPHAN_CANCELLED(2115, EventLevel.WARNING, "A call of an earlier incarnation was cancelled.", "None."),
    CANCEL_UNCONFIRMED(
        2116,
        EventLevel.WARNING,
        "An upstream did not confirm a cancel; it is repeated.",
        "Check the upstream.",
    ),
    CLAIM_CREATED(2201, EventLevel.DEBUG, "A claim was created for a non-idempotent request.", "None."),
    CLAIM_REPLAYED(2202, EventLevel.INFO, "A repeated key got its first answer again.", "None."),
    CLAIM_VOIDED(2203, EventLevel.INFO, "A claim was voided: its call did not run.", "None."),
    CLAIM_TAKEN_OVER(2204, EventLevel.INFO, "A voided claim was taken over by a new submission.", "None."),
    CLAIM_STARTED(2205, EventLevel.INFO, "A non-idempotent call was sent to its upstream.", "None."),
    CLAIM_UNKNOWN(
        2206,
        EventLevel.WARNING,
        "It is not known whether a non-idempotent call ran.",
        "Check at the service whether it ran.",
    ),
    STORE_LOST(2301, EventLevel.WARNING, "The key-value service is unavailable.", "Check the platform."),
    STORE_BACK(2302, EventLevel.INFO, "The key-value service is available again.", "None."),
    UPSTREAM_SLOW(
        2401,
        EventLevel.WARNING,
        "An upstream is slower than its peers and is on probation.",
        "Watch the upstream.",
    ),
    UPSTREAM_RESTORED(2402, EventLevel.INFO, "An upstream ended its probation and is fully used again.", "None."),
    HOST_LEAVING(2501, EventLevel.INFO, "A host is leaving and gets no new work.", "None."),
    ORDER_GIVEN(2601, EventLevel.INFO, "An upstream carried out an order.", "None."),
    ORDER_REFUSED(2602, EventLevel.WARNING, "An order was refused or failed.", "Check upstream and fencing number."),
    CONFIGURATION_APPLIED(3001, EventLevel.INFO, "A configuration is in force in this process.", "None."),
    CONFIGURATION_OUTDATED(3002, EventLevel.WARNING, "An older configuration was received and not applied.", "None."),
    CONFIGURATION_UNREADABLE(3003, EventLevel.ERROR, "A stored configuration cannot be read.", "Publish it again."),
    UPSTREAM_REGISTERED(3004, EventLevel.INFO, "An upstream's registration changed.", "None."),
    REGISTRATION_UNREADABLE(
        3005,
        EventLevel.WARNING,
        "An upstream's registration cannot be read.",
        "Check the process that writes it.",
    ),
    SETTINGS_RELOADED(3006, EventLevel.INFO, "The settings file was read again.", "None."),
    ROLE_CHANGE_BEGUN(3007, EventLevel.INFO, "A role change of an engine begins with its announcement.", "None."),
    ROLE_ORDERED(3008, EventLevel.INFO, "An engine was ordered to change its role.", "None."),
    ENTRY_REGISTERED(3009, EventLevel.INFO, "The number of entries that share limits changed.", "None."),
    UPSTREAM_NOTICE(3010, EventLevel.INFO, "An upstream said that it is leaving, or asked for a pause.", "None."),
    NOTICE_UNREADABLE(
        3011,
        EventLevel.WARNING,
        "A header of an upstream's answer cannot be read.",
        "Check the upstream.",
    ),
    REQUEST_LIMIT_CHANGED(
        3012,
        EventLevel.INFO,
        "An upstream named a limit on its requests, changed it, or named none any more.",
        "Check the upstream.",
    ),
    REQUEST_LIMIT_REPORTED(
        3013,
        EventLevel.INFO,
        "An entry reported the limit of an upstream, or its end, in the registry.",
        "None.",
    ),
    PROMPT_SUSPECTED(
        3014,
        EventLevel.WARNING,
        "An upstream crashed while it ran a request; a part of its prompt, or the request itself, is suspected.",
        "See docs/OPERATIONS.md.",
    ),
    PROMPT_QUARANTINED(
        3015,
        EventLevel.WARNING,
        "Requests that crash upstreams, or have such a part in their prompt, are held back.",
        "Find what sends the part; see docs/OPERATIONS.md.",
    ),
    PROMPT_TRIAL(3016, EventLevel.INFO, "One request that is held back was to be sent as a trial.", "None."),
    PROMPT_SOUND(3017, EventLevel.INFO, "A suspected request, or part of prompts, is sound or was forgotten.", "None."),
    PROMPT_REPORT_DROPPED(
        3018,
        EventLevel.WARNING,
        "A report on a suspected request or part was given up because too many wait for the registry.",
        "Check the platform.",
    ),
    STORE_RESTORED(
        3019,
        EventLevel.WARNING,
        "The platform's store was restored from an older copy.",
        "Check that the newest configuration is in it.",
    ),
    ANSWER_SKIPPED(
        3020,
        EventLevel.WARNING,
        "An upstream's answer belongs to another call than the one due, and was left out.",
        "Check the upstream if frequent.",
    ),
    SURVIVAL_CHECKED(
        3021,
        EventLevel.INFO,
        "An upstream was asked whether it outlived the end of a connection.",
        "See docs/OPERATIONS.md.",
    ),
    ANSWER_UNEXPECTED(
        3022,
        EventLevel.WARNING,
        "An upstream wrote on a connection that carried no call.",
        "Check the upstream if frequent.",
    ),
    REQUEST_SENT(3101, EventLevel.INFO, "A request, or its prefill, was sent to an upstream.", "None."),
    REQUEST_DECLINED(
        3102,
        EventLevel.INFO,
        "An upstream declined a request without running it.",
        "Check its load if frequent.",
    ),
    REQUEST_FAILED(3103, EventLevel.INFO, "A call to an upstream failed.", "Check the upstream if frequent."),
    REQUEST_ENDED(3104, EventLevel.INFO, "A request was answered, refused or aborted.", "See docs/OPERATIONS.md."),
    CUSTOMERS_APPLIED(3201, EventLevel.INFO, "The customers of a configuration and their keys are in force.", "None."),
    CUSTOMER_LEFT_OUT(
        3202,
        EventLevel.WARNING,
        "A customer of a configuration, or a part of one, cannot be used and was left out.",
        "Correct the configuration.",
    ),
    KEY_REVOKED(
        3203,
        EventLevel.INFO,
        "An accepted request was not sent, or not sent again, since its key is not valid any more.",
        "None.",
    ),
    QUOTA_OWNER_SILENT(
        3211,
        EventLevel.WARNING,
        "The entry that keeps a customer's account does not answer; this entry admits its own share.",
        "See docs/OPERATIONS.md.",
    ),
    QUOTA_OWNER_BACK(3212, EventLevel.INFO, "The entry that keeps a customer's account answers again.", "None."),
    ENTRY_MESSAGES_DROPPED(
        3221,
        EventLevel.WARNING,
        "Messages between entries were dropped.",
        "See docs/OPERATIONS.md.",
    ),
    MEMORY_COORDINATOR_CHANGED(3231, EventLevel.INFO, "Another entry coordinates a service's decode memory.", "None."),
    MEMORY_COORDINATOR_SILENT(
        3232,
        EventLevel.WARNING,
        "The coordinator of decode memory does not answer, and the entry decides alone.",
        "Check that entry and the network.",
    ),
    MEMORY_COORDINATOR_BACK(3233, EventLevel.INFO, "The coordinator of decode memory answers again.", "None."),
    MEMORY_ENTRY_SILENT(
        3234,
        EventLevel.INFO,
        "What an entry held of decode memory is not counted any more, since the entry is silent.",
        "None.",
    ),
    MEMORY_OFFER_DECLINED(
        3235,
        EventLevel.DEBUG,
        "An engine did not give memory that the coordinator offered.",
        "See docs/OPERATIONS.md if frequent.",
    ),
    UPSTREAM_SLOWER(
        3241,
        EventLevel.INFO,
        "An upstream is slower than its pool, or slows down with load, and gets fewer requests.",
        "Check the upstream if it lasts; see docs/OPERATIONS.md.",
    ),
    UPSTREAM_SPEED_USUAL(3242, EventLevel.INFO, "An upstream is as fast as its pool again, or not measured.", "None."),
    CALLER_CUT_OFF(
        3251,
        EventLevel.INFO,
        "A caller that read nothing of its answer for some seconds was cut off.",
        "None if rare; see docs/OPERATIONS.md.",
    ),
    ANSWERS_FULL(
        3252,
        EventLevel.WARNING,
        "Unread answers reached their bound, and the caller that read nothing for longest was cut off.",
        "See docs/OPERATIONS.md.",
    ),
    BODIES_FULL(
        3253,
        EventLevel.WARNING,
        "The bodies in flight to an upstream left no room for that of a request.",
        "See docs/OPERATIONS.md.",
    ),
    ;

    /** Code as it is printed: `LL-` and four digits. */
    public val code: String get() = "LL-$number"
}

/** One event on the time line of a process. */
@Serializable
public data class EventRecord(
    val clock: HybridTime,
    val process: ProcessName,
    val kind: EventKind,
    val request: RequestId? = null,
    val upstream: UpstreamName? = null,
    val host: HostName? = null,
    val note: ReleaseVersion? = null,
    val detail: String = "",
)

/** An event without the process name and time stamp, which the process adds. */
public data class EventDraft(
    val kind: EventKind,
    val request: RequestId? = null,
    val upstream: UpstreamName? = null,
    val host: HostName? = null,
    val note: ReleaseVersion? = null,
    val detail: String = "",
)
