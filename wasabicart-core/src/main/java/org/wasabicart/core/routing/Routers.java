package org.wasabicart.core.routing;

import java.util.random.RandomGenerator;

import org.wasabicart.core.Ticker;
import org.wasabicart.core.model.FailureDomain;
import org.wasabicart.core.model.RegionName;

/**
 * Creates routers. Random sources must be safe for use by several threads.
 */
public final class Routers {

	private Routers() {
	}

	/**
	 * Creates a router that prefers near members and takes the cheaper of two random ones
	 * by observed load.
	 * @param failureDomain own failure domain
	 * @param region own region
	 * @param regionLink limit on the traffic between regions
	 * @param ticker clock
	 * @param random random source
	 * @return the router
	 */
	public static Router locality(FailureDomain failureDomain, RegionName region, RegionLink regionLink, Ticker ticker,
			RandomGenerator random) {
		return new LocalityRouter(failureDomain, region, regionLink, ticker, random);
	}

	/**
	 * Creates the baseline router, which spreads calls evenly over the own region without
	 * regard to load.
	 * @param region own region
	 * @param regionLink counts the traffic between regions
	 * @param random random source
	 * @return the router
	 */
	public static Router random(RegionName region, RegionLink regionLink, RandomGenerator random) {
		return new RandomRouter(region, regionLink, random);
	}

}
