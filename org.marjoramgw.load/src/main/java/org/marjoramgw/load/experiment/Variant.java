package org.marjoramgw.load.experiment;

import java.util.Map;

/**
 * Setting of the limits that a series compares with others.
 *
 * @param name its name
 * @param limitOverrides keys of the configuration's {@code limits} that are replaced
 * @author The marjoramgw authors
 */
public record Variant(String name, Map<String, Object> limitOverrides) {
}
