package org.streamring.kernel.table;

/** Keys of the rows in the platform's table. */
public final class RowKeys {
    /** Prefix of the rows of entries. */
    public static final String ENTRIES = "entry/";
    /** Prefix of the rows of held tokens. */
    public static final String HELD = "held/";
    /** Prefix of the rows of declared items. */
    public static final String ITEMS = "config/item/";
    /** Prefix of the rows of accepted configuration changes, which form the audit trail. */
    public static final String CHANGES = "config/change/";
    /** Key of the row whose amount is the version of the configuration in force. */
    public static final String CONFIG_VERSION = "config/version";

    private RowKeys() {}

    /** Returns the key of the row of one incarnation of an entry. */
    public static String entry(String incarnation) {
        return ENTRIES + incarnation;
    }

    /** Returns the key of the row that lists the sidecars to which one incarnation of an entry may send attempts. */
    public static String peers(String incarnation) {
        return "peers/" + incarnation;
    }

    /** Returns the key prefix of the leases of one incarnation of an entry. */
    public static String leasesOf(String incarnation) {
        return "lease/" + incarnation + "/";
    }

    /** Returns the key of the row of a lease. */
    public static String lease(String leaseId) {
        return "lease/" + leaseId;
    }

    /** Returns the key of the row with the tokens of a budget that are not in a lease. */
    public static String remaining(String budget) {
        return "budget/" + budget + "/remaining";
    }

    /** Returns the key of the row with all tokens granted to a budget so far. */
    public static String granted(String budget) {
        return "budget/" + budget + "/granted";
    }

    /** Returns the key of the row with the spent and settled tokens of a budget. */
    public static String settled(String budget) {
        return "budget/" + budget + "/settled";
    }

    /** Returns the key of the row with the held tokens of a budget, which may or may not have been spent. */
    public static String held(String budget) {
        return "budget/" + budget + "/held";
    }

    /** Returns the key of the row for one part of the held tokens of a lease. */
    public static String heldRemainder(String leaseId, String part) {
        return HELD + leaseId + "/" + part;
    }

    /** Returns the key of the row of a claim on a request that runs at most once. */
    public static String claim(String requestKey) {
        return "claim/" + requestKey;
    }

    /**
     * Returns the key of the row of the change that led to a version. The version is zero-padded, so that the key order
     * is the version order.
     */
    public static String change(long version) {
        return CHANGES + "%012d".formatted(version);
    }

    /** Returns the key of the row of one declared item. */
    public static String item(String kind, String name) {
        return ITEMS + kind + "/" + name;
    }
}
