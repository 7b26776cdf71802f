import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * While the entries start, answers of the store to some writes are lost, and these writes are done seconds later. Some
 * time after, the workers are full.
 */
final class LateRegistration extends RetryBudgetCase {
    private static final long LATE_MILLIS = 4_000;
    private static final int AFFECTED = 3;

    private final Set<String> late = ConcurrentHashMap.newKeySet();

    LateRegistration() throws Exception {
        super();
    }

    public static void main(String[] arguments) throws Exception {
        new LateRegistration().run();
    }

    @Override
    boolean play() throws Exception {
        putServiceAndWorkers();
        if (trouble) store.faults = this::delayOf;
        for (int number = 1; number <= ENTRIES; number++) entries.add(startEntry("front-a-" + number, "zone-a"));
        for (Entry entry : entries) entry.awaitReady();
        Store.sleep(4_500);
        store.faults = write -> -1;
        record("the store loses no more answers; writes with a lost answer: " + late.size() + " of " + store.writes);
        startBalancer();
        Http.start(() -> {
            for (int i = 0; i < 4; i++) {
                Store.sleep(5_000);
                record("keys of entries in the store: " + store.keys("lovageladder/entries/"));
            }
            Store.sleep(5_000);
            isFull = true;
            record("the workers are full");
        });
        sendFor(40);
        return judge();
    }

    /** The first write of some entries' registrations is done late; all others are done at once. */
    @SuppressWarnings("unchecked")
    private synchronized long delayOf(Map<String, Object> write) {
        for (Object row : (List<Object>) write.getOrDefault("writes", List.of())) {
            String key = (String) ((Map<String, Object>) row).get("key");
            boolean isRegistration = key.startsWith("lovageladder/entries/");
            if (isRegistration && late.size() < AFFECTED && late.add(key)) {
                record("the store loses the answer to the write of " + key + " and does it " + LATE_MILLIS + " ms later");
                return LATE_MILLIS;
            }
        }
        return -1;
    }
}
