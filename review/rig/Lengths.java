import java.util.Random;

/** How many tokens a stream has, and what its client expects; both follow from the id of the request. */
final class Lengths {
    private static final double MEAN = 69;
    private static final double SPREAD = 0.7;
    private static final double HINT_ERROR = 0.5;
    static final int MOST = 170;

    private Lengths() {}

    static int of(String id) {
        double length = MEAN * Math.exp(SPREAD * random(id, 1).nextGaussian() - SPREAD * SPREAD / 2);
        return (int) Math.max(5, Math.min(MOST, length));
    }

    /** The estimate of the client: accurate at the median but often far off. */
    static int hintOf(String id) {
        double hint = of(id) * Math.exp(HINT_ERROR * random(id, 2).nextGaussian());
        return (int) Math.max(1, Math.min(MOST, hint));
    }

    private static Random random(String id, int salt) {
        return new Random(Long.parseUnsignedLong(id, 16) * 31 + salt);
    }
}
