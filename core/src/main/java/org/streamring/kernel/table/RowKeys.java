package org.streamring.kernel.table;

/** Names of the rows in the platform's table. */
public final class RowKeys {
    /** Prefix of the rows of entries. */
    public static final String ENTRIES = "entry/";
    /** Prefix of the rows of held remainders. */
    public static final String HELD = "held/";
    /** Prefix of the rows of declared items. */
    public static final String ITEMS = "config/item/";
    /** Prefix of the rows of accepted changes, which are the audit trail. */
    public static final String CHANGES = "config/change/";
    /** The row whose amount is the version of the configuration in force. */
    public static final String CONFIG_VERSION = "config/version";

    private RowKeys() {}

    /** Row of one incarnation of an entry. */
    public static String entry(String incarnation) {
        return ENTRIES + incarnation;
    }

    /** Row that names the sidecars which one incarnation of an entry may give work to. */
    public static String peers(String incarnation) {
        return "peers/" + incarnation;
    }

    /** Prefix of the leases of one incarnation of an entry. */
    public static String leasesOf(String incarnation) {
        return "lease/" + incarnation + "/";
    }

    /** Row of a lease. */
    public static String lease(String leaseId) {
        return "lease/" + leaseId;
    }

    /** Tokens that no lease holds. */
    public static String remaining(String budget) {
        return "budget/" + budget + "/remaining";
    }

    /** Tokens ever granted. */
    public static String granted(String budget) {
        return "budget/" + budget + "/granted";
    }

    /** Tokens spent and settled. */
    public static String settled(String budget) {
        return "budget/" + budget + "/settled";
    }

    /** Tokens whose fate is not known yet. */
    public static String held(String budget) {
        return "budget/" + budget + "/held";
    }

    /** Row of one held remainder. */
    public static String heldRemainder(String leaseId, String part) {
        return HELD + leaseId + "/" + part;
    }

    /** Row of a claim on a request that runs at most once. */
    public static String claim(String requestKey) {
        return "claim/" + requestKey;
    }

    /** Row of the change that led to a version; zero-padded, so that key order is version order. */
    public static String change(long version) {
        return CHANGES + "%012d".formatted(version);
    }

    /** Row of one declared item. */
    public static String item(String kind, String name) {
        return ITEMS + kind + "/" + name;
    }
}
