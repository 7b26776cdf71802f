import java.util.concurrent.TimeUnit;

/** The entries are stopped and started in turn while the workers are full. */
final class RestartedBudget extends RetryBudgetCase {
    private static final long GAP_MILLIS = 1_000;

    RestartedBudget() throws Exception {
        super();
    }

    public static void main(String[] arguments) throws Exception {
        new RestartedBudget().run();
    }

    @Override
    boolean play() throws Exception {
        putServiceAndWorkers();
        for (int number = 1; number <= ENTRIES; number++) entries.add(startEntry("front-a-" + number, "zone-a"));
        for (Entry entry : entries) entry.awaitReady();
        startBalancer();
        Store.sleep(1_500);
        Http.start(() -> {
            Store.sleep(15_000);
            isFull = true;
            record("the workers are full");
            if (trouble) Http.start(this::restartInTurn);
        });
        sendFor(35);
        return judge();
    }

    private void restartInTurn() {
        for (Entry entry : entries) {
            Http.start(() -> restart(entry));
            Store.sleep(GAP_MILLIS);
        }
    }

    private void restart(Entry entry) {
        try {
            record(entry.name + " gets SIGTERM");
            entry.process.destroy();
            if (!entry.process.waitFor(8, TimeUnit.SECONDS)) entry.process.destroyForcibly();
            record(entry.name + " has ended");
            entries.remove(entry);
            entries.add(startEntry(entry.name, "zone-a"));
        } catch (Exception failure) {
            record("restart failed: " + failure);
        }
    }
}
