/** Headers as flat lists of names and values, in the order and spelling in which they came. */

/** Headers that concern one connection only and are never passed on. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** The value of a header; `name` in lower case. Undefined where it is missing. */
export const headerValue = (headers: readonly string[], name: string): string | undefined => {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() === name) {
            return headers[index + 1];
        }
    }
    return undefined;
};

/** How often a header stands in the list; `name` in lower case. */
export const headerCount = (headers: readonly string[], name: string): number => {
    let count = 0;
    for (let index = 0; index < headers.length; index += 2) {
        count += headers[index]!.toLowerCase() === name ? 1 : 0;
    }
    return count;
};

/** The headers that may go on to the next hop, without those in `dropped` (lower case). */
export const endToEndHeaders = (headers: readonly string[], dropped: ReadonlySet<string>): string[] => {
    const named = namedByConnection(headers);
    const kept: string[] = [];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = headers[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !dropped.has(name) && !named.has(name)) {
            kept.push(headers[index]!, headers[index + 1]!);
        }
    }
    return kept;
};

/** Size of headers as they were sent, with their separators and line ends. */
export const headerBytes = (headers: readonly string[]): number => {
    const separatorBytes = 2;
    return headers.reduce((sum, text) => sum + Buffer.byteLength(text, "latin1") + separatorBytes, 0);
};

/** Headers that the sender's Connection header keeps to its connection. */
const namedByConnection = (headers: readonly string[]): Set<string> => {
    const names = new Set<string>();
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]!.toLowerCase() === "connection") {
            headers[index + 1]!.split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
};
