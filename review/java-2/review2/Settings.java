package review2;

/** The settings of a small deployment, those of the brief unless a case says otherwise. */
final class Settings {
    int balancers = 1;
    int rank = 0;
    long dialTimeoutMillis = 120;
    String mode = "ask";
    StringBuilder classes = new StringBuilder();

    Settings add(
            String name,
            String effect,
            String group,
            long windowMillis,
            long aimMillis,
            long giveUpMillis,
            double lateShare) {
        classes.append(classes.length() == 0 ? "" : ",")
                .append("{\"Name\":\"" + name + "\",\"Idempotency\":\"" + effect + "\",\"DedupScope\":\"" + group
                        + "\",\"KeyTtl\":" + windowMillis * 1000 + ",\"GoalTime\":" + aimMillis * 1000
                        + ",\"GiveUp\":" + giveUpMillis * 1000 + ",\"Gain\":3.0,\"LateShare\":" + lateShare
                        + ",\"Stream\":false}");
        return this;
    }

    String json() {
        return "{\"Areas\":[\"podrum\"],\"Balancers\":" + balancers
                + ",\"Blend\":{\"Whole\":0.55,\"WorstClass\":0.3,\"WorstTenant\":0.0,\"WorstWindow\":0.15}"
                + ",\"Callers\":{\"MarksRetry\":true},\"Classes\":[" + classes
                + "],\"Kinds\":[\"puni\",\"slabi\"],\"Limits\":{\"Cancel\":true,\"CpuUsPerRequest\":0.0,"
                + "\"CpuUsPerS\":800000,\"DialTimeout\":" + dialTimeoutMillis * 1000
                + ",\"IdleClose\":30000000,\"MaxOpen\":20000,\"MaxRetryAfter\":1200000,\"MayDuplicate\":true,"
                + "\"PeerMessages\":false,\"Probes\":true,\"RetryAfter\":false,\"StreamsPerConn\":1,\"TryLimit\":3},"
                + "\"Locality\":0,\"MembershipMode\":\"" + mode + "\",\"OverShareWorth\":0.1,"
                + "\"Prices\":{\"Connection\":0.0,\"CrossZone\":0.0,\"Handshake\":0.0,\"Probe\":0.03,\"Waste\":0.02},"
                + "\"Quantum\":2000,\"Rank\":" + rank
                + ",\"Realms\":[],\"Rules\":{\"AnswerSlack\":8000,\"AskWithin\":10000000,"
                + "\"ColdFrom\":0.3,\"DrainGrace\":1000000,\"Fall\":1000000,\"OverloadFactor\":3.0,"
                + "\"RampTime\":8400000},\"Specifics\":{\"WarmKeys\":false},\"Stats\":{\"Fields\":[\"errors_per_s\","
                + "\"recent_ms\",\"outstanding\"],\"How\":\"answers\"},\"Tier\":0,\"Tiers\":[\"narudzbe\"],"
                + "\"WeightKind\":\"nominal\",\"Workload\":\"proxy\",\"WorthBy\":\"work\"}";
    }
}
