package io.masticpond.testing.backend;

import io.masticpond.core.support.Assert;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Stand-in for an HTTP backend server with slots, a queue, service times, drains and faults.
 *
 * <p>All work runs on one event loop, which many servers may share, without blocking. Thread-safe,
 * except that calls from the event loop itself are not allowed, as they wait for it.
 *
 * @since 0.1
 */
public final class BackendServerStandIn implements AutoCloseable {

    private static final int MAXIMUM_BODY_BYTES = 16 << 20;
    private static final int BACKLOG = 1_024;

    private final BackendServerSettings mSettings;
    private final EventLoop mEventLoop;
    private final BackendServerWork mWork;
    private InetSocketAddress mAddress;
    private Channel mListener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings settings of the server
     * @param eventLoop event loop for all work of the server
     * @param log log of executions
     */
    public BackendServerStandIn(
            BackendServerSettings settings, EventLoop eventLoop, ExecutionLog log) {
        mSettings = Assert.notNull(settings, "The settings of a backend server");
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
        mWork = new BackendServerWork(settings, eventLoop, Assert.notNull(log, "A log"));
        mAddress = parse(settings.address());
    }

    /** Starts to listen as a cold server; after a crash, on the same port as before. */
    public synchronized void start() {
        Assert.isTrue(mListener == null, "The backend server %s is already running.", id());
        call(
                work -> {
                    work.start();
                    return null;
                });
        mListener = bootstrap().bind(mAddress).syncUninterruptibly().channel();
        mAddress = (InetSocketAddress) mListener.localAddress();
    }

    /** Stops listening, resets all connections and drops all work. */
    public synchronized void crash() {
        if (mListener == null) {
            return;
        }
        mListener.close().syncUninterruptibly();
        mListener = null;
        execute(BackendServerWork::crash);
    }

    /**
     * Starts a drain: the server continues to serve requests and announces that it is leaving.
     *
     * @param plan schedule of the announcements
     */
    public void drain(DrainPlan plan) {
        Assert.notNull(plan, "A plan of a drain");
        execute(work -> work.drain(plan));
    }

    /** Ends a drain. */
    public void undrain() {
        execute(BackendServerWork::undrain);
    }

    /**
     * Replaces the faults.
     *
     * @param faults the faults
     */
    public void setFaults(BackendServerFaults faults) {
        Assert.notNull(faults, "Faults");
        execute(work -> work.setFaults(faults));
    }

    /**
     * Returns the current faults.
     *
     * @return the faults
     */
    public BackendServerFaults faults() {
        return call(BackendServerWork::faults);
    }

    /**
     * Returns the counters.
     *
     * @return the counters
     */
    public BackendServerCounts counts() {
        return call(BackendServerWork::counts);
    }

    /** Resets the counters to zero, and the maximum counters to the current values. */
    public void resetCounts() {
        execute(BackendServerWork::resetCounts);
    }

    /**
     * Returns the id of the server.
     *
     * @return the id
     */
    public String id() {
        return mSettings.id();
    }

    /**
     * Returns the listen address.
     *
     * @return the address as "ip:port"
     */
    public synchronized String address() {
        return mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    @Override
    public void close() {
        crash();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(mEventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                        .addLast(new BackendServerHandler(mWork));
                            }
                        });
    }

    private void execute(Consumer<BackendServerWork> action) {
        call(
                work -> {
                    action.accept(work);
                    return true;
                });
    }

    private <T> T call(Function<BackendServerWork, T> action) {
        Callable<T> task = () -> action.apply(mWork);
        return mEventLoop.submit(task).syncUninterruptibly().getNow();
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        Assert.isTrue(
                colon > 0, "The address must have the form 'ip:port', but was '%s'.", address);
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
