package org.streamring.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.streamring.kernel.config.ConfigurationHolder.Configuration;
import org.streamring.model.declaration.ServiceKind;

/** Index of client accounts by key and of services by model, for the configuration in force. */
public final class AccountIndex {
    private volatile Map<String, String> accountByKeyHash = Map.of();
    private volatile Map<String, String> serviceByModel = Map.of();

    /** Rebuilds the index from a configuration. */
    public void update(Configuration configuration) {
        Map<String, String> accounts = new HashMap<>();
        configuration.declarations().accounts().forEach((name, account) -> accounts.put(account.keySha256(), name));
        Map<String, String> services = new HashMap<>();
        configuration.declarations().services().forEach((name, service) -> {
            if (service.kind() == ServiceKind.MODEL) {
                service.models().forEach(model -> services.put(model, name));
            }
        });
        accountByKeyHash = Map.copyOf(accounts);
        serviceByModel = Map.copyOf(services);
    }

    /** Returns the client account that a key belongs to; empty for an unknown key. */
    public Optional<String> accountOf(String key) {
        return key.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(accountByKeyHash.get(sha256(key.getBytes(StandardCharsets.UTF_8))));
    }

    /** Returns the service that offers a model; empty if none does. */
    public Optional<String> serviceOf(String model) {
        return Optional.ofNullable(serviceByModel.get(model));
    }

    /**
     * Returns the SHA-256 hash in lower-case hexadecimal. Several parts are each followed by a zero byte before
     * hashing.
     */
    public static String sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(part);
                digest.update((byte) 0);
            }
            return parts.length == 1 ? hashSingle(parts[0]) : HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }

    private static String hashSingle(byte[] bytes) throws NoSuchAlgorithmException {
        return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    }
}
