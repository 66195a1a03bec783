package org.streamring.kernel.permit;

/** Carries questions for permits to other entries. */
public interface PermitLink {
    /** Sends a question; its answer, if one comes, carries the number. */
    void ask(String entry, long number, PermitAsk ask);

    /** Tells another entry what a server says of its limit now. */
    void tell(String entry, LimitNews news);
}
