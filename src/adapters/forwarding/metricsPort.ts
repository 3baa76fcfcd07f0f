/** Serves counters, gauges and latencies for metric collectors. */
import { listen, type Listener } from "../../utils/httpServer.js";

/** Answers any request at `address` with `text`. */
export const serveMetrics = (address: string, text: () => string): Promise<Listener> =>
    listen(address, (request, response) => {
        request.resume();
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text());
        return Promise.resolve();
    });
