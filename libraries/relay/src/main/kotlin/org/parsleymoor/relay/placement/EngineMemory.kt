package org.parsleymoor.relay.placement

import org.parsleymoor.relay.fleet.EndpointState
import org.parsleymoor.relay.fleet.sentPromptsSince
import org.parsleymoor.relay.prompt.PromptContext

/**
 * Returns whether this engine has memory for [prompt] now. An engine that is given more than its memory holds evicts
 * the shared parts that it has just fetched, preempts runs and reads both again, so that all of its work gets slower.
 * Without a recent report the engine is taken to have room.
 */
internal fun EndpointState.hasRoom(prompt: PromptContext, nowMillis: Long): Boolean {
    val load = engineLoad?.takeIf { nowMillis - it.atMillis < REPORT_LIFE_MILLIS } ?: return true
    val sent = sentPromptsSince(load.atMillis - REPORT_LAG_MILLIS)
    val need = prompt.promptTokens + prompt.outputTokens
    val used = load.memoryUsed + sent.sumOf { it.tokens } + need
    val isShort = need < load.memoryTotal * SHORT_SHARE
    val fits = used <= load.memoryTotal * FILL_SHARE
    return if (isShort) load.waiting <= SHORT_WAITING else fits && load.waiting <= LONG_WAITING
}

// Reports are some hundred milliseconds old when they are read, and no longer useful after a while.
internal const val REPORT_LAG_MILLIS = 150L
internal const val REPORT_LIFE_MILLIS = 1_500L

// Runs grow by what they produce, and prompts of peers arrive that this instance does not know of yet.
private const val FILL_SHARE = 0.93

// A short prompt finds memory as soon as any run ends, and is usually the more urgent one.
private const val SHORT_SHARE = 0.04
private const val SHORT_WAITING = 4
private const val LONG_WAITING = 1
