package org.marjoramgw.load.experiment;

import java.util.Map;

/**
 * Set of overridden limits that a series compares with others.
 *
 * @param name name of the variant
 * @param limitOverrides overridden keys of the configuration's {@code limits}
 * @author The marjoramgw authors
 */
public record Variant(String name, Map<String, Object> limitOverrides) {
}
