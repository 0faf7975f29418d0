package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Discovery;
import loadbalancer.policy.Policy.Tenant;
import org.junit.jupiter.api.Test;

class TenantQuotasTest {
    private static TenantQuotas quotas(int balancers, double... quotasPerSecond) {
        List<Tenant> tenants = new ArrayList<>();
        for (double quotaPerSecond : quotasPerSecond) {
            tenants.add(new Tenant(quotaPerSecond));
        }
        ActiveSettings activeSettings = new ActiveSettings(
                PolicyTestHarness.settings(balancers, true, Discovery.PUSH, tenants, PolicyFixtures.SAFE));
        TenantQuotas quotas = new TenantQuotas(activeSettings, new SplittableRandom(1));
        quotas.reload(0, Collections.nCopies(quotasPerSecond.length, -1));
        return quotas;
    }

    /** The number over quota of {@code count} requests of a tenant within ten seconds. */
    private static int countOverQuota(TenantQuotas quotas, int tenant, int count) {
        int overQuota = 0;
        for (int i = 1; i <= count; i++) {
            quotas.recordArrival(tenant, false);
            overQuota += quotas.exceedsQuota(tenant, 10_000_000L * i / count) ? 1 : 0;
        }
        return overQuota;
    }

    @Test
    void withoutTenantsNoRequestIsOverQuota() {
        TenantQuotas quotas = quotas(1);
        quotas.recordArrival(0, false);
        assertFalse(quotas.exceedsQuota(0, 1));
    }

    @Test
    void trafficWithinTheQuotaIsNotOverQuota() {
        assertTrue(countOverQuota(quotas(1, 100), 0, 900) <= 1);
    }

    @Test
    void theExcessOfATenantIsOverQuota() {
        assertEquals(2_000, countOverQuota(quotas(1, 100), 0, 3_000), 110, "a second's burst aside");
    }

    @Test
    void aBalancerGrantsItsPartOfTheQuota() {
        assertEquals(500, countOverQuota(quotas(4, 400, 400, 400), 0, 1_500), 110);
    }

    @Test
    void oneTenantFarOverItsQuotaDoesNotRaiseTheQuotasOfOthers() {
        TenantQuotas quotas = quotas(4, 400, 400, 400);
        for (int i = 0; i < 10_000; i++) {
            quotas.recordArrival(2, false);
        }
        assertEquals(500, countOverQuota(quotas, 0, 1_500), 110);
    }

    @Test
    void aReloadKeepsTheTokensOfAKnownTenant() {
        TenantQuotas quotas = quotas(1, 100);
        countOverQuota(quotas, 0, 3_000);
        quotas.reload(10_000_000, List.of(0));
        assertTrue(quotas.exceedsQuota(0, 10_000_000));
    }
}
