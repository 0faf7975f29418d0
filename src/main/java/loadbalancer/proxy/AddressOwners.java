package loadbalancer.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import loadbalancer.policy.Policy;

/**
 * Decides which upstream listens at an address that several entries of the endpoint list name. An upstream is known by
 * its id; where another one comes up at its address, the former one has gone, whether or not the list says so yet, and
 * what is sent there reaches the new one. Does no I/O and reads no clock.
 */
final class AddressOwners {
    private final Map<String, EndpointUpdate.Endpoint> listed = new HashMap<>(); // by id, as the list names them
    private final Map<InetSocketAddress, String> owners = new HashMap<>(); // the upstream that is up at an address

    /** Returns the update with an entry for each upstream whose address another one has taken over. */
    EndpointUpdate resolve(EndpointUpdate update) {
        Map<InetSocketAddress, String> formerOwners = new HashMap<>();
        Map<String, EndpointUpdate.Endpoint> resolved = new LinkedHashMap<>();
        for (EndpointUpdate.Endpoint entry : update.endpoints()) {
            resolved.put(entry.server().id(), entry);
            if (isUp(entry) && entry.address() != null) {
                resolveOwner(entry, formerOwners, resolved);
            }
        }
        for (EndpointUpdate.Endpoint entry : update.endpoints()) {
            listed.put(entry.server().id(), entry);
        }
        if (update.complete()) {
            retainListed(update);
        }
        return new EndpointUpdate(update.version(), update.complete(), new ArrayList<>(resolved.values()));
    }

    /** Returns the upstream's entry in the endpoint list, as the list names it, or null if there is none. */
    Policy.Server listed(String id) {
        EndpointUpdate.Endpoint entry = listed.get(id);
        return entry == null ? null : entry.server();
    }

    // Entries of one update that share an address from the beginning are one server under several names.
    private void resolveOwner(
            EndpointUpdate.Endpoint entry,
            Map<InetSocketAddress, String> formerOwners,
            Map<String, EndpointUpdate.Endpoint> resolved) {
        String id = entry.server().id();
        String current = owners.get(entry.address());
        String former = formerOwners.computeIfAbsent(entry.address(), address -> current == null ? id : current);
        EndpointUpdate.Endpoint formerEntry = listed.get(former);
        if (former.equals(id) || formerEntry == null || !entry.address().equals(formerEntry.address())) {
            owners.put(entry.address(), id);
        } else if (takesOver(entry, formerEntry)) {
            owners.put(entry.address(), id);
            resolved.put(former, formerEntry.takenOver());
        } else {
            resolved.put(id, entry.takenOver());
        }
    }

    private boolean takesOver(EndpointUpdate.Endpoint entry, EndpointUpdate.Endpoint former) {
        EndpointUpdate.Endpoint before = listed.get(entry.server().id());
        boolean isNewAtAddress = before == null || !entry.address().equals(before.address()) || !isUp(before);
        boolean startedLater =
                entry.server().startedAtMicros() > former.server().startedAtMicros();
        return isNewAtAddress || startedLater || !isUp(former);
    }

    private static boolean isUp(EndpointUpdate.Endpoint entry) {
        return entry.server().state() == Policy.State.UP;
    }

    private void retainListed(EndpointUpdate update) {
        Set<String> ids =
                update.endpoints().stream().map(entry -> entry.server().id()).collect(Collectors.toSet());
        listed.keySet().retainAll(ids);
        owners.values().retainAll(ids);
    }
}
