package org.parsleymoor.relay.placement

import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.sentPromptsSince
import org.parsleymoor.relay.prompt.PromptContext

/**
 * Returns whether this engine has memory for [prompt] now. An overcommitted engine evicts shared parts that it has just
 * fetched, preempts running requests and recomputes both, which slows down all of its work. Without a recent load
 * report the engine is assumed to have memory.
 */
internal fun EndpointState.hasMemoryFor(prompt: PromptContext, nowMillis: Long): Boolean {
    val load = engineLoad?.takeIf { nowMillis - it.atMillis < REPORT_LIFE_MILLIS } ?: return true
    val sent = sentPromptsSince(load.atMillis - REPORT_LAG_MILLIS)
    val need = prompt.promptTokens + prompt.outputTokens
    val used = load.memoryUsed + sent.sumOf { it.tokens } + need
    val isShort = need < load.memoryTotal * SHORT_PROMPT_SHARE
    val fits = used <= load.memoryTotal * FILL_SHARE
    return if (isShort) load.waiting <= MAX_WAITING_SHORT else fits && load.waiting <= MAX_WAITING_LONG
}

// A load report is some hundred milliseconds old when it arrives.
internal const val REPORT_LAG_MILLIS = 150L

// An older load report says too little about the present load.
internal const val REPORT_LIFE_MILLIS = 1_500L

// Leaves room for the output of running requests and for prompts of other instances that are not known here yet.
private const val FILL_SHARE = 0.93

// A short prompt fits as soon as any request ends, and is usually more urgent.
private const val SHORT_PROMPT_SHARE = 0.04
private const val MAX_WAITING_SHORT = 4
private const val MAX_WAITING_LONG = 1
