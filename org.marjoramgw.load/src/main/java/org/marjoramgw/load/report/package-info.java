/**
 * Output of results: JSON files, tables and charts.
 */
package org.marjoramgw.load.report;
