/** Serves counters, gauges and latencies to metrics collectors. */
import { listen, type Listener } from "../../utils/httpServer.js";

/** Responds to any request at `address` with the text that `formatMetrics` returns. */
export const serveMetrics = (address: string, formatMetrics: () => string): Promise<Listener> =>
    listen(address, (request, response) => {
        request.resume();
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(formatMetrics());
        return Promise.resolve();
    });
