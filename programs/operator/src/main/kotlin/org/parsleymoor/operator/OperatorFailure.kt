package org.parsleymoor.operator

import org.parsleymoor.configuration.ChangeRecord
import org.parsleymoor.configuration.ConfigurationError
import org.parsleymoor.configuration.Danger
import org.parsleymoor.configuration.ValidationErrors
import org.parsleymoor.core.Failure

/** Why a command failed. [next] is the command to try next. */
internal sealed interface OperatorFailure : Failure {
    val status: ExitStatus
    val next: String

    /** Files with mistakes, each of which is listed. */
    data class InvalidFiles(val mistakes: ValidationErrors, override val next: String) : OperatorFailure {
        override val status get() = ExitStatus.INVALID
        override val message: String
            get() = "${mistakes.message}\n${mistakes.list.size} mistakes; nothing was changed"
    }

    /** The change would make the configuration invalid. */
    data class InvalidChange(val mistakes: List<ConfigurationError>) : OperatorFailure {
        override val status get() = ExitStatus.INVALID
        override val message: String get() = mistakes.joinToString("\n") { it.message } + "\nnothing was changed"
        override val next get() = "parsleymoor get changes"
    }

    /** Another operator's change was accepted first. */
    data class Conflict(val expectedRevision: Long, val other: ChangeRecord) : OperatorFailure {
        override val status get() = ExitStatus.CONFLICT
        override val message: String
            get() = "expected revision $expectedRevision, found revision ${other.revision}: ${other.author} made " +
                "the change \"${other.change}\" at ${shownTime(other.atMillis)}; nothing was changed"
        override val next get() = "parsleymoor get changes, then the same command again"
    }

    /** Dangerous and not confirmed. */
    data class Unconfirmed(val dangers: List<Danger>) : OperatorFailure {
        override val status get() = ExitStatus.UNCONFIRMED
        override val message: String
            get() = "expected --yes for a dangerous change, found none; nothing was changed"
        override val next get() = "the same command with --yes"
    }

    /** No item of that name. */
    data class NotFound(val expected: String, val found: String, override val next: String) : OperatorFailure {
        override val status get() = ExitStatus.NOT_FOUND
        override val message: String get() = "expected $expected, found \"$found\""
    }

    /** The platform or a gateway did not answer as it should. */
    data class Unreachable(val cause: Failure) : OperatorFailure {
        override val status get() = ExitStatus.UNREACHABLE
        override val message: String get() = cause.message
        override val next get() = "parsleymoor status"
    }

    /** The answer to the write was lost and reading back failed as well. */
    data class Unresolved(val change: String, val cause: Failure) : OperatorFailure {
        override val status get() = ExitStatus.UNREACHABLE
        override val message: String
            get() = "expected the platform's answer to \"$change\", found none (${cause.message}); " +
                "the change may have been made"
        override val next get() = "parsleymoor get changes"
    }

    /** The change is accepted, and [lagging] instances do not have it in effect within [waitedMillis]. */
    data class Lagging(val revision: Long, val lagging: List<String>, val waitedMillis: Long) : OperatorFailure {
        override val status get() = ExitStatus.LAGGING
        override val message: String
            get() = "expected revision $revision in effect everywhere within $waitedMillis ms, " +
                "found these behind: ${lagging.joinToString()}"
        override val next get() = "parsleymoor status"
    }
}
