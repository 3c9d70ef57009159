/**
 * Output of measures: JSON files, tables and charts.
 */
package org.marjoramgw.load.report;
