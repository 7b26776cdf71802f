package org.lovageladder.standin

/** The models and adapters that an engine serves; without [baseModel] it accepts any model name. */
internal class ServedModels(private val baseModel: String?, private val engineName: String) {
    private val adapters = LinkedHashMap<String, String>()
    private val loadedVersions = LinkedHashMap<String, String>()

    val names: List<String>
        get() = listOf(baseModel ?: engineName) + loadedVersions.map { (model, version) -> "$model@$version" } +
            adapters.keys

    /** Throws [RequestRefused] with status 404 for a model that the engine doesn't serve. */
    fun requireServed(model: String?) {
        if (model == null || baseModel == null) {
            return
        }
        if (model != baseModel && model !in adapters && model !in loadedVersions) {
            val reason = "the model '$model' does not exist here; served: ${names.joinToString()}"
            throw RequestRefused(RequestRefused.NOT_FOUND, "NotFoundError", reason, "model")
        }
    }

    fun loadModel(order: ModelLoadOrder) {
        loadedVersions[order.model] = order.version
    }

    fun loadAdapter(order: AdapterLoadOrder) {
        if (order.name in adapters) {
            val reason = "The lora adapter '${order.name}' has already been loaded."
            throw RequestRefused(RequestRefused.BAD_REQUEST, "InvalidUserInput", reason, "lora_name")
        }
        adapters[order.name] = order.path
    }

    fun unloadAdapter(order: AdapterUnloadOrder) {
        adapters.remove(order.name)
            ?: throw RequestRefused(
                RequestRefused.NOT_FOUND,
                "NotFoundError",
                "The lora adapter '${order.name}' cannot be found.",
                "lora_name",
            )
    }

    fun list(): ModelList {
        val base = baseModel ?: engineName
        val cards =
            listOf(ModelCard(base, base)) +
                loadedVersions.map { (model, version) -> ModelCard(model, version) } +
                adapters.map { (name, path) -> ModelCard(name, path, parent = base) }
        return ModelList(cards)
    }
}
