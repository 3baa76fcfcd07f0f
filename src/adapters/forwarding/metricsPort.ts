/** Serves counters, gauges and latencies to metrics collectors. */
import { listen, type Listener, refuseTunnels } from "../../utils/httpServer.js";

/** Responds to any request at `address` with the text that `formatMetrics` returns. */
export const serveMetrics = async (address: string, formatMetrics: () => string): Promise<Listener> => {
    const listener = await listen(address, (request, response) => {
        request.resume();
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(formatMetrics());
        return Promise.resolve();
    });
    refuseTunnels(listener.server);
    return listener;
};
