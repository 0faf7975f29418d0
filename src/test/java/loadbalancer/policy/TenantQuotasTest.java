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
    private static TenantQuotas quotas(int balancers, double... allowances) {
        List<Tenant> tenants = new ArrayList<>();
        for (double allowance : allowances) {
            tenants.add(new Tenant(allowance));
        }
        ActiveSettings active = new ActiveSettings(
                PolicyTestHarness.settings(balancers, true, Discovery.PUSH, tenants, PolicyFixtures.SAFE));
        TenantQuotas quotas = new TenantQuotas(active, new SplittableRandom(1));
        quotas.reload(0, Collections.nCopies(allowances.length, -1));
        return quotas;
    }

    /** The number over quota of {@code count} requests of a tenant within ten seconds. */
    private static int overQuota(TenantQuotas quotas, int tenant, int count) {
        int over = 0;
        for (int i = 1; i <= count; i++) {
            quotas.recordArrival(tenant, false);
            over += quotas.exceedsQuota(tenant, 10_000_000L * i / count) ? 1 : 0;
        }
        return over;
    }

    @Test
    void withoutTenantsNothingExceedsAQuota() {
        TenantQuotas quotas = quotas(1);
        quotas.recordArrival(0, false);
        assertFalse(quotas.exceedsQuota(0, 1));
    }

    @Test
    void whatStaysWithinTheAllowanceDoesNotExceedIt() {
        assertTrue(overQuota(quotas(1, 100), 0, 900) <= 1);
    }

    @Test
    void whatIsAboveTheAllowanceExceedsIt() {
        assertEquals(2_000, overQuota(quotas(1, 100), 0, 3_000), 110, "a second's burst aside");
    }

    @Test
    void aBalancerGrantsItsPartOfTheAllowance() {
        assertEquals(500, overQuota(quotas(4, 400, 400, 400), 0, 1_500), 110);
    }

    @Test
    void oneTenantFarOverItsQuotaDoesNotWidenTheOthers() {
        TenantQuotas quotas = quotas(4, 400, 400, 400);
        for (int i = 0; i < 10_000; i++) {
            quotas.recordArrival(2, false);
        }
        assertEquals(500, overQuota(quotas, 0, 1_500), 110);
    }

    @Test
    void aReloadKeepsWhatAKnownTenantHasUsed() {
        TenantQuotas quotas = quotas(1, 100);
        overQuota(quotas, 0, 3_000);
        quotas.reload(10_000_000, List.of(0));
        assertTrue(quotas.exceedsQuota(0, 10_000_000));
    }
}
