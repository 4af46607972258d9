package org.parsleymoor.operator

/** The exit statuses of `parsleymoor`; [meaning] is what `docs/operators.md` says of each. */
public enum class ExitStatus(public val meaning: String) {
    DONE("done"),
    USAGE("the command line is wrong; nothing was changed"),
    INVALID("declarations, settings or the change are invalid; nothing was changed"),
    CONFLICT("another change was made first; nothing was changed"),
    UNCONFIRMED("the change is dangerous and was not confirmed with --yes; nothing was changed"),
    LAGGING("the change was accepted and is not in effect everywhere yet"),
    UNREACHABLE("the platform or a gateway did not answer"),
    NOT_FOUND("no item or request of that name"),
    ;

    /** The number that the process exits with; the order of the statuses is therefore fixed. */
    public val code: Int get() = ordinal
}
