package io.masticpond.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;

/** Writer of plots as SVG files. */
final class PlotWriter {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 540;
    private static final int MARKER_SIZE = 5;

    /**
     * Writes one plot.
     *
     * @param plot the plot
     * @param file the file, whose name ends in ".svg"
     * @throws UncheckedIOException if the file can't be written
     */
    void write(MeasurePlot plot, Path file) {
        try {
            VectorGraphicsEncoder.saveVectorGraphic(
                    createChart(plot), file.toString(), VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new UncheckedIOException("The plot could not be written to " + file + ".", e);
        }
    }

    private static XYChart createChart(MeasurePlot plot) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(plot.title())
                        .xAxisTitle(plot.horizontalTitle())
                        .yAxisTitle(plot.verticalTitle())
                        .build();
        chart.getStyler().setXAxisLogarithmic(plot.scale().isHorizontalLogarithmic());
        chart.getStyler().setYAxisLogarithmic(plot.scale().isVerticalLogarithmic());
        chart.getStyler().setMarkerSize(MARKER_SIZE);
        for (MeasurePlot.Series each : plot.series()) {
            XYSeries series = chart.addSeries(each.name(), each.horizontal(), each.vertical());
            series.setSmooth(false);
        }
        return chart;
    }
}
